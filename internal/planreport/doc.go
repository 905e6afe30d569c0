// Package planreport reads the model of a plan from an INI file, and writes plans as tables and pictures. Package plan
// computes them.
package planreport
