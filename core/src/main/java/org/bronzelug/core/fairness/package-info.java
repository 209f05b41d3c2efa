/** Fair queueing of the teams' requests that wait for a runner (DESIGN.md "Fairness"). */
package org.bronzelug.core.fairness;
