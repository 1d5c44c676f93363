// Package operator publishes sets through lagoonctl, the command line of operators.
package operator
