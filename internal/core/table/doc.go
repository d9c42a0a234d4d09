// Package table defines the entity types shared by the decision core, and a table that tracks which
// of its rows changed.
//
// It must not import any other package of this module.
package table
