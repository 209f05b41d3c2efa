/**
 * Parts of prompts that crash endpoints: what this VM knows of them, and its exchange with peers.
 */
package org.bronzelug.router.poison;
