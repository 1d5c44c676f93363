// Package apportioner decides how the quotas of workspaces are divided among the daemons.
//
// A quota is divided into credits, each of which permits one try. Only the arbiter of the fleet creates credits, at the rate of the workspace, and
// only while fewer exist than the workspace's capacity. The reporters of the zones hold them in pools and lease them to the daemons. No window
// can therefore contain more tries than the capacity and what the rate adds meanwhile, wherever the credits are. A credit that its holder does not
// report any more counts as existing until its lease has ended.
//
// The decisions handle a few thousand holders of one pool, at two reports a second and with only the changed workspaces in a report; a report costs
// time in proportion to its lines and to the holders of these workspaces.
package apportioner
