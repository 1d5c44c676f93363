// Command upstreamstandin is a stand-in for a backend server, for tests and demonstrations.
package main
