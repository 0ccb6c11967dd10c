// Package measure is under construction.
package measure
