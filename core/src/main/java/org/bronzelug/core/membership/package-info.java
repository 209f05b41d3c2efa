/** Fleet membership and the staleness bound of a VM's configuration (DESIGN.md "Freshness"). */
package org.bronzelug.core.membership;
