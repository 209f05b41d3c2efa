/** Which VMs are there, and how old this VM's knowledge is (DESIGN.md "Freshness"). */
package org.bronzelug.core.membership;
