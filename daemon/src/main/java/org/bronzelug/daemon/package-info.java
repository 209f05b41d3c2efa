/** The daemon of one VM: its start and its graceful stop. */
package org.bronzelug.daemon;
