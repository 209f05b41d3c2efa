/** Simulated outside systems, for tests and demonstrations only. */
package org.bronzelug.standin;
