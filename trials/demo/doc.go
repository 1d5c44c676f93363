// Command demo brings a deployment up on loopback, sends load, lets parts of it fail and checks what became of each request.
package main
