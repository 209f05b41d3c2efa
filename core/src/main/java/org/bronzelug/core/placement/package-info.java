/** Choice of the runner for a request, by cached prefixes and load (DESIGN.md "Placement"). */
package org.bronzelug.core.placement;
