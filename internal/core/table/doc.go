// Package table holds the entity types shared by the decision core and the tables that store them.
//
// It must not import any other package of this module.
package table
