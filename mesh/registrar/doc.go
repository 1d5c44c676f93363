// Package registrar keeps what the fleet knows of its daemons and the backend servers beside them.
package registrar
