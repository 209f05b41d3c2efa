/** Streams that stay whole and in order (DESIGN.md "Streams"). */
package org.bronzelug.core.stream;
