/** Generations: admitted, queued fairly, placed, streamed, and moved when a runner fails. */
package org.bronzelug.daemon.generate;
