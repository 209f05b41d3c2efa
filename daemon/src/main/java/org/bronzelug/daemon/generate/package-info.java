/**
 * Generations: admission, fair queueing, placement on runners, streaming, and the move to another
 * runner after a failure.
 */
package org.bronzelug.daemon.generate;
