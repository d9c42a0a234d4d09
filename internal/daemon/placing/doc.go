// Package placing carries out the decisions of core/layout: it orders workers to hold layers while this host holds
// the lease for placing.
//
// It must not import ingress, endpoint or peer packages.
package placing
