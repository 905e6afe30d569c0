// Package build describes builds so that a host can verify, before it starts a build, that trusted signers have
// approved it. A Manifest lists the files with their SHA-256 digests, how to start the build, how to check that it is
// ready and how to drain it. A KeyRing holds the public keys of the trusted signers, their validity periods, and the
// number of signatures that a build needs.
//
// Signatures are Ed25519 signatures over the bytes of the manifest, in minisign's format
// (https://jedisct1.github.io/minisign/). The package reads neither files nor the clock: the caller passes in the bytes
// and the time.
package build
