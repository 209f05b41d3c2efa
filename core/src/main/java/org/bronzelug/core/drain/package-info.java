/** The graceful stop (DESIGN.md "Graceful stop"). */
package org.bronzelug.core.drain;
