/** Rate limits of teams and endpoints across all VMs (DESIGN.md "Rates"). */
package org.bronzelug.core.limit;
