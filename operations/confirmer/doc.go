// Package confirmer judges whether a published set is in force everywhere, from what the witnesses of each group know.
package confirmer
