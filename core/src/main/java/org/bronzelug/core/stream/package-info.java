/** Streams of chunks, complete and in order over several attempts (DESIGN.md "Streams"). */
package org.bronzelug.core.stream;
