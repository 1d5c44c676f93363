// Command slopes measures what the control code costs as members, shards, groups and changes grow.
package main
