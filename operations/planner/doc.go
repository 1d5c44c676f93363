// Package planner computes which objects replacing the published set would change, which shards it would move and which dangers it has.
package planner
