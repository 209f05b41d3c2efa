/** Claims: exclusive ownership by one VM at a time (DESIGN.md "Claims"). */
package org.bronzelug.core.claim;
