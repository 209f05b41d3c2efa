/** Claims that one VM at a time may use (DESIGN.md "Claims"). */
package org.bronzelug.core.claim;
