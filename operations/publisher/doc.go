// Package publisher holds the published set, the aggregate of all objects that operators name, and the rules by which a set is valid.
package publisher
