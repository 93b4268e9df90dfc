/** Typed events of the form `onDidSomething(listener) => closable`. */
import type { IClosable } from './closing.js'

/** Subscribes a listener; closing the result unsubscribes it. */
export type Event<T> = (listener: (event: T) => void) => IClosable

/** Fires an event to its subscribers; held by the owner of the event. */
export class Emitter<T> implements IClosable {
  private readonly listeners = new Set<(event: T) => void>()

  /** Subscribes to the event; the owner exposes it as `onDid…`. */
  readonly event: Event<T> = (listener) => {
    const callListener = (event: T): void => listener(event)
    this.listeners.add(callListener)
    return { close: () => { this.listeners.delete(callListener) } }
  }

  /**
   * Calls all listeners in the order of their subscription.
   * @param event the data of the event
   */
  fire (event: T): void {
    for (const listener of [...this.listeners]) listener(event)
  }

  /** Removes all listeners. */
  close (): void {
    this.listeners.clear()
  }
}
