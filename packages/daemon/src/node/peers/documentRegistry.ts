/**
 * Documents beside the configuration that daemons hand on to each other. A
 * source registers here; heartbeats then announce, fetch and push for it.
 */
import type { DemandReport, DocumentVersion } from '@umberspar/steering/common/membership/memberFacts'
import type { Digest, PeerDocument } from '@umberspar/steering/common/ports/peers'

/** Who owns documents of some names. */
export interface IDocumentSource {
  /** @returns what this node announces */
  list(): readonly DocumentVersion[]
  /** @returns the document, or undefined if this node has none of the name */
  get(name: string): PeerDocument | undefined
  /** @returns whether a peer's document is worth fetching */
  shouldFetch(theirs: DocumentVersion): boolean
  /** @returns whether a peer that has `theirs`, or none, should be given ours */
  shouldPush(ours: DocumentVersion, theirs: DocumentVersion | undefined): boolean
  /** Takes in a document; a damaged or older one changes nothing. */
  apply(document: PeerDocument, source: string): void
}

/** Who takes part in heartbeats with measurements. */
export interface IDigestObserver {
  /** @returns this node's demand for its heartbeat */
  listDemand(): readonly DemandReport[]
  /** Takes in a peer's heartbeat. */
  observe(digest: Digest): void
}

/** All sources and observers of one daemon. */
export class DocumentRegistry {
  private readonly sources: IDocumentSource[] = []
  private readonly observers: IDigestObserver[] = []

  /** @param source whose documents are handed on from now on */
  addSource (source: IDocumentSource): void {
    this.sources.push(source)
  }

  /** @param observer who sees heartbeats from now on */
  addObserver (observer: IDigestObserver): void {
    this.observers.push(observer)
  }

  /** @returns all announced documents */
  list (): DocumentVersion[] {
    return this.sources.flatMap((source) => source.list())
  }

  /** @returns the own demand */
  listDemand (): DemandReport[] {
    return this.observers.flatMap((observer) => observer.listDemand())
  }

  /** @param digest a peer's heartbeat */
  observe (digest: Digest): void {
    for (const observer of this.observers) observer.observe(digest)
  }

  /**
   * @param name a document's name
   * @returns the document, or undefined
   */
  get (name: string): PeerDocument | undefined {
    for (const source of this.sources) {
      const found = source.get(name)
      if (found !== undefined) return found
    }
    return undefined
  }

  /**
   * @param digest a peer's heartbeat
   * @returns names and own versions of what to fetch from it
   */
  listWanted (digest: Digest): Array<{ readonly name: string, readonly aboveVersion: number }> {
    return digest.documents
      .filter((theirs) => this.sources.some((source) => source.shouldFetch(theirs)))
      .map(({ name }) => ({ name, aboveVersion: this.get(name)?.document.version ?? 0 }))
  }

  /**
   * @param digest a peer's heartbeat
   * @returns documents that the peer lacks
   */
  listLacking (digest: Digest): PeerDocument[] {
    const theirs = new Map(digest.documents.map((document) => [document.name, document]))
    return this.sources.flatMap((source) => source.list()
      .filter((ours) => source.shouldPush(ours, theirs.get(ours.name)))
      .flatMap(({ name }) => source.get(name) ?? []))
  }

  /**
   * @param document what a peer sent
   * @param source the peer, for the log
   * @returns the version that this node has afterwards, 0 for none
   */
  apply (document: PeerDocument, source: string): number {
    for (const each of this.sources) each.apply(document, source)
    return this.get(document.document.name)?.document.version ?? 0
  }
}
