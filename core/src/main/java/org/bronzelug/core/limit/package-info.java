/** Each team's rate and burst across all VMs (DESIGN.md "Rates"). */
package org.bronzelug.core.limit;
