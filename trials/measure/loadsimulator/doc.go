// Package loadsimulator simulates how the daemons of a fleet choose servers under uneven demand, on servers of unlike speed with noisy neighbours. It runs
// decisions only, without a network, so that rules can be compared under the same load.
package loadsimulator
