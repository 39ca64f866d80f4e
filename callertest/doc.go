// Package callertest holds tests of callers that exceed the limits. It runs the built
// tamarackcleat-gateway and tamarackcleatd as processes on loopback, each with lowered
// limits on memory and descriptors, and lets a crowd of raw connections misbehave.
//
// Every spec checks the same and nothing else: the process lives, its resident memory and
// its open descriptors stay under the limits of its settings, and one ordinary request is
// answered while the crowd's connections are still open. No times and no share of served
// requests are checked, so a spec must hold under any timing. The specs run one at a time.
package callertest
