// Command probe runs the scripts of the second review: it starts daemons beside small stand-ins and checks one rule of the platform.
package main
