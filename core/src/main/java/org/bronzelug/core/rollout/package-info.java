/** Rollout of a software version of a pool: exposure, evidence and verdict. */
package org.bronzelug.core.rollout;
