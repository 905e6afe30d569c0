// Package artifact stores the files of builds on a host by their SHA-256, fetches them from mirrors, and makes the bundles
// that mirrors serve.
//
// Builds share equal files. A file is fetched under a temporary name, synced, verified and only then renamed, so that a
// file in the store always has the content that its digest names, also after a crash or a full disk. An installed build
// is a folder of hard links into the store.
package artifact
