/** Fair order between teams at the runners' door (DESIGN.md "Fairness"). */
package org.bronzelug.core.fairness;
