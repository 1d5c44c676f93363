// Command rig3 runs the scripted cases of the third review: real daemons beside stand-ins for the store, the backend servers and the clients.
package main
