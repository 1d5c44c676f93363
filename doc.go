// Package lagoonlanding declares the core types of the router and every interface behind which its behaviour varies.
package lagoonlanding
