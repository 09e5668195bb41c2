package confine

import "golang.org/x/sys/unix"

// auditArch is the architecture whose call numbers the filter knows.
const auditArch = unix.AUDIT_ARCH_X86_64

// forkCalls are the calls beside clone that make a process.
var forkCalls = []uint32{unix.SYS_FORK, unix.SYS_VFORK}
