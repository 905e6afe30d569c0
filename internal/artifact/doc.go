// Package artifact stores the files of builds on a host by their SHA-256 digests, fetches them from mirrors, and
// creates the bundles that mirrors serve.
//
// Builds share files with equal content. A file is fetched under a temporary name, verified and synced, and only then
// renamed, so that the content of a file in the store always matches its digest, even after a crash or on a full disk.
// An installed build is a folder of hard links into the store.
package artifact
