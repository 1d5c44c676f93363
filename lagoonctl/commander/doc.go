// Package commander implements the commands of lagoonctl.
package commander
