/** Which runner serves a request: by cached prefixes and load (DESIGN.md "Placement"). */
package org.bronzelug.core.placement;
