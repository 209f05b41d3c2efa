/** The daemon of one VM: its start and its graceful shutdown. */
package org.bronzelug.daemon;
