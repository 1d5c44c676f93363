// Package publisher holds the published set, the aggregate of all objects that operators configure, and the rules that validate it.
package publisher
