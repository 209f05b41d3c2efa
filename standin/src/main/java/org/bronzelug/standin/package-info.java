/** Small programs that take the place of outside systems in tests and demonstrations only. */
package org.bronzelug.standin;
