// Package confirmer determines from the status of the witnesses of each group whether a published set is in force everywhere.
package confirmer
