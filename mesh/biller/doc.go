// Package biller counts the bytes that cross regions by their cause, since the links between regions are narrow and billed by volume.
package biller
