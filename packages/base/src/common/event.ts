/** Typed events in the shape `onDidSomething(listener) => closable`. */
import type { IClosable } from './closing.js'

/** Subscribes a listener; closing the result unsubscribes it. */
export type Event<T> = (listener: (event: T) => void) => IClosable

/** The owner's side of an event. */
export class Emitter<T> implements IClosable {
  private readonly listeners = new Set<(event: T) => void>()

  /** The subscriber's side; an owner exposes it as `onDid…`. */
  readonly event: Event<T> = (listener) => {
    const callListener = (event: T): void => listener(event)
    this.listeners.add(callListener)
    return { close: () => { this.listeners.delete(callListener) } }
  }

  /**
   * Calls every listener in the order of subscription.
   * @param event what happened
   */
  fire (event: T): void {
    for (const listener of [...this.listeners]) listener(event)
  }

  /** Forgets all listeners. */
  close (): void {
    this.listeners.clear()
  }
}
