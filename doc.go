// Package lagoonlanding declares the core types of the router and the interfaces of its interchangeable components.
package lagoonlanding
