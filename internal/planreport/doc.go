// Package planreport reads the model of a plan from an INI file and writes plans as tables and plots. Package plan computes
// the plans.
package planreport
