// Package measurer measures the CPU time, memory and message sizes of the control code
// for growing numbers of members, shards, groups and tenants.
package measurer
