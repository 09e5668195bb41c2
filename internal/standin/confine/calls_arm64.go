package confine

import "golang.org/x/sys/unix"

// auditArch is the architecture whose call numbers the filter knows.
const auditArch = unix.AUDIT_ARCH_AARCH64

// forkCalls are the calls beside clone that make a process: arm64 has none.
var forkCalls []uint32
