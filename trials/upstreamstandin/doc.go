// Command upstreamstandin stands in for a backend server in tests and demonstrations.
package main
