// Package planner works out what replacing the published set by another would change, move and endanger.
package planner
