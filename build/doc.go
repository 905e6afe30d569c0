// Package build describes builds so that a host can verify, before it starts one, that trusted signers have approved it. A
// Manifest lists the files with their SHA-256, how to start the build, how to check that it is ready and how to drain it.
// A KeyRing says whose signatures count, from when to when, and how many a build needs.
//
// Signatures are Ed25519 in minisign's format (https://jedisct1.github.io/minisign/), over the bytes of the manifest. The
// package reads no files and no clock: the caller brings bytes and the time.
package build
