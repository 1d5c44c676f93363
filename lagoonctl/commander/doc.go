// Package commander holds the commands of lagoonctl.
package commander
