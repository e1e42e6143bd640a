// Package crowd sends crowds of callers that don't keep to the protocol to the system's own processes, and checks that a
// process lives, stays within the memory and the descriptors of its VM, and answers ordinary callers. It judges nothing by
// time. Each test loads the whole machine, so that they run one at a time and apart from the other packages.
package crowd
