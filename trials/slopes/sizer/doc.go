// Package sizer measures what the control code costs as members, shards, groups and changes grow.
package sizer
